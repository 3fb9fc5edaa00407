"""Digests of callers' keys, which stand for the keys everywhere."""

import hashlib

from figdoor_kernel._ids import KeyDigest

DIGEST_BYTES = 16


def digest_of_key(key: bytes) -> KeyDigest:
    """Return the digest of a key; the key itself is not kept.

    Keys are compared by the lookup of their digests. How long that takes says
    nothing of how many bytes of a guessed key are right.

    >>> len(digest_of_key(b'492cqf75'))
    16
    """
    # Named here and not imported: a node that defers imports then loads
    # hashlib, with 2 MB of OpenSSL, only where there are keys.
    digest = hashlib.blake2b(key, digest_size=DIGEST_BYTES)
    return KeyDigest(digest.digest())
