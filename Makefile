PY := .venv/bin/python
.PHONY: soak soak-poison venv lint test demo bench bench-report fuzz docs

.venv/ok: requirements.lock pyproject.toml
	test -x $(PY) || python3 -m venv .venv
	$(PY) -m pip install -q -r requirements.lock
	$(PY) -m pip install -q --no-deps --no-build-isolation -e .
	touch .venv/ok

venv: .venv/ok

lint: venv
	$(PY) -m ruff format --check papayaloom features
	$(PY) -m flake8 papayaloom features
	$(PY) -m mypy papayaloom

test: venv
	$(PY) -m behave $(BEHAVE_ARGS) --format progress

demo: venv
	$(PY) -m papayaloom.bench.demo --keep=$(if $(KEEP),True,False)

bench: venv
	$(PY) -m papayaloom.bench $(ARGS)

bench-report: venv
	$(PY) -m papayaloom.bench.report $(ARGS)

fuzz: venv
	$(PY) -m features.machines.run --seconds=$(or $(SECONDS),600) --seed=$(or $(SEED),1)

docs: venv
	$(PY) -m papayaloom.version.settings_page > docs/settings.md
	$(PY) -m papayaloom.bench.fault_matrix > docs/faults.md

soak: venv
	$(PY) -m features.soak.run $(or $(SOAK),--seeds=50 --seconds=8)

soak-poison: venv
	$(PY) -m features.soak.poison $(or $(SOAK),--seeds=50 --seconds=8)
