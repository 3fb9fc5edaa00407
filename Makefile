.PHONY: venv test demo check format reference

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
	.venv/bin/ruff check --fix packages platform standins bench tests tools
	.venv/bin/ruff format packages platform standins bench tests tools

reference: venv
	.venv/bin/python tools/reference.py
