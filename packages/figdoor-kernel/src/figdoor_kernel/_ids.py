"""Identifier types, distinct so that the type checker finds mix-ups."""

from typing import NewType

VmId = NewType('VmId', str)
NodeId = NewType('NodeId', str)
UpstreamId = NewType('UpstreamId', str)
InstanceId = NewType('InstanceId', str)
ServiceName = NewType('ServiceName', str)
AvailabilityZoneName = NewType('AvailabilityZoneName', str)
RouteName = NewType('RouteName', str)
PoolName = NewType('PoolName', str)
TenantName = NewType('TenantName', str)
KeyDigest = NewType('KeyDigest', bytes)
CallerId = NewType('CallerId', int)
Fingerprint = NewType('Fingerprint', int)
Revision = NewType('Revision', int)
Era = NewType('Era', int)
Position = NewType('Position', int)
