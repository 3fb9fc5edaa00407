.PHONY: venv test demo check format

venv: .venv/ready

.venv/ready: requirements.lock $(wildcard packages/*/pyproject.toml) standins/pyproject.toml
	tools/bootstrap

test: venv
	.venv/bin/python -m pytest

demo: venv
	.venv/bin/python -m figdoor_standins.demo

check: venv
	tools/check

format: venv
	.venv/bin/ruff check --fix packages standins bench tests
	.venv/bin/ruff format packages standins bench tests
