import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { parse, TomlError } from 'smol-toml';
import { ALL_UPSTREAMS, upstreamNames, hostNames } from './names.ts';
import { scenarioSchema } from './scenarioSchema.ts';
import type { Scenario, Step } from './scenarioSchema.ts';

/** One thing wrong with a scenario file. */
export interface ScenarioError {
  /** `file:line` where the line is known, else the file. */
  readonly place: string;
  /** Dotted key, such as `step.3.host`; empty where the whole file is meant. */
  readonly key: string;
  readonly message: string;
}

type Path = readonly PropertyKey[];

/** Finds the line of the table that a path leads into, by counting its headers. */
function lineOf(text: string, path: Path): number | undefined {
  const [table, index] = path;
  const lines = text.split('\n');
  if (typeof index !== 'number') {
    const found = lines.findIndex((line) => line.startsWith(String(table)));
    return found < 0 ? undefined : found + 1;
  }
  const headers = lines.flatMap((line, at) => (line.trim() === `[[${String(table)}]]` ? [at] : []));
  const start = headers[index];
  if (start === undefined) return undefined;
  const rest = lines.slice(start + 1, headers[index + 1] ?? lines.length);
  const within = rest.findIndex((line) => line.trim().startsWith(`${String(path[2])} `));
  return within < 0 ? start + 1 : start + within + 2;
}

function errorAt(file: string, text: string, path: Path, message: string): ScenarioError {
  const line = lineOf(text, path);
  return {
    place: line === undefined ? file : `${file}:${line}`,
    key: path.map(String).join('.'),
    message,
  };
}

/** Gets the names that a step uses, with the key each stands under and what it may be. */
function namesOf(
  scenario: Scenario,
  step: Step,
): readonly { readonly key: string; readonly name: string; readonly known: readonly string[] }[] {
  const hosts = hostNames(scenario);
  const upstreams = upstreamNames(scenario);
  const teams = scenario.team.map((team) => team.id);
  const ends = [...hosts, ...upstreams, ALL_UPSTREAMS, 'platform'];
  const models = scenario.pool.map((pool) => pool.model);
  const services = scenario.service.map((service) => service.id);
  return [
    ...('host' in step && step.host !== undefined
      ? [{ key: 'host', name: step.host, known: hosts }]
      : []),
    ...('upstream' in step ? [{ key: 'upstream', name: step.upstream, known: upstreams }] : []),
    ...('team' in step ? [{ key: 'team', name: step.team, known: teams }] : []),
    ...('between' in step
      ? step.between.map((end) => ({ key: 'between', name: end, known: ends }))
      : []),
    ...('of' in step ? [{ key: 'of', name: step.of, known: ['platform', ...upstreams] }] : []),
    ...('model' in step && step.model !== undefined
      ? [{ key: 'model', name: step.model, known: models }]
      : []),
    ...('service' in step && step.service !== undefined
      ? [{ key: 'service', name: step.service, known: services }]
      : []),
  ];
}

function checkNames(file: string, text: string, scenario: Scenario): readonly ScenarioError[] {
  const ofSteps = scenario.step.flatMap((step, index) =>
    namesOf(scenario, step)
      .filter(({ name, known }) => !known.includes(name))
      .map(({ key, name, known }) =>
        errorAt(
          file,
          text,
          ['step', index, key],
          `"${name}" is not declared; expected one of ${known.join(', ')}`,
        ),
      ),
  );
  const labels = scenario.step.flatMap((step) => ('label' in step ? [step.label] : []));
  const ofExpectations = scenario.expect.flatMap((expectation, index) =>
    expectation.of === undefined || labels.includes(expectation.of)
      ? []
      : [
          errorAt(
            file,
            text,
            ['expect', index, 'of'],
            `no step has the label "${expectation.of}"; expected one of ${labels.join(', ')}`,
          ),
        ],
  );
  return [...ofSteps, ...ofExpectations];
}

/** Reads TOML; its error tells the line. */
function parseToml(text: string, file: string): Result<unknown, readonly ScenarioError[]> {
  try {
    return ok(parse(text));
  } catch (error) {
    const place = error instanceof TomlError ? `${file}:${error.line}` : file;
    const message = error instanceof Error ? (error.message.split('\n')[0] ?? '') : 'not TOML';
    return err([{ place, key: '', message }]);
  }
}

/** Reads the text of the file that a scenario is based on; the path is relative to the scenario. */
export type ReadBase = (path: string) => string;

/** Puts a scenario's own tables over those of the file that it is based on, if it names one. */
function withBase(
  raw: unknown,
  file: string,
  readBase: ReadBase,
): Result<unknown, readonly ScenarioError[]> {
  if (typeof raw !== 'object' || raw === null || !('base' in raw)) return ok(raw);
  const { base, ...own } = raw;
  try {
    const text = readBase(String(base));
    return parseToml(text, String(base)).map((below) => ({ ...(below as object), ...own }));
  } catch (error) {
    const message = error instanceof Error ? error.message : 'cannot be read';
    return err([{ place: file, key: 'base', message }]);
  }
}

/**
 * Reads a scenario.
 *
 * @param text - The file's text.
 * @param file - The file's name, for errors.
 * @param readBase - Reads the file that the scenario is based on.
 * @returns The scenario, or everything that is wrong with it.
 */
export function parseScenario(
  text: string,
  file: string,
  readBase: ReadBase,
): Result<Scenario, readonly ScenarioError[]> {
  const merged = parseToml(text, file).andThen((raw) => withBase(raw, file, readBase));
  return merged.andThen((raw) => {
    const parsed = scenarioSchema.safeParse(raw);
    if (!parsed.success) {
      return err(
        parsed.error.issues.map((issue) => errorAt(file, text, issue.path, issue.message)),
      );
    }
    const wrong = checkNames(file, text, parsed.data);
    return wrong.length > 0 ? err(wrong) : ok(parsed.data);
  });
}
