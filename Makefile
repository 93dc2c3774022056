# Two commands do all set-up: `make run` and `make test`.
PY := .venv/bin/python
STAMP := .venv/.lock-installed

.PHONY: run test lint drill bench clean

$(STAMP): requirements.lock pyproject.toml
	test -x $(PY) || python3 -m venv .venv
	.venv/bin/pip -q install --disable-pip-version-check -r requirements.lock
	.venv/bin/pip -q install --disable-pip-version-check --no-deps --no-build-isolation \
		--config-settings editable_mode=compat -e .
	touch $(STAMP)

run: $(STAMP)
	.venv/bin/fawnspool serve --embedded

test: $(STAMP)
	$(PY) -m pytest

lint: $(STAMP)
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	.venv/bin/mypy
	.venv/bin/lint-imports

drill: $(STAMP)
	.venv/bin/fawnspool drill run days/bad-day.hcl

bench: $(STAMP)
	$(PY) -m benchmarks.head_cost

clean:
	rm -rf .venv
