import { keyOf } from '../language/routingConfig.ts';
import type { Check, RunLog } from './RunLog.ts';
import { violation } from './RunLog.ts';

const SECOND_MS = 1000;

/** A leaving host gets no new work after so long; callers keep advice for about as long. */
const LEAVING_MS = 5 * SECOND_MS;

/** A configuration is in force, and a withdrawn key stops, within so long. */
const IN_FORCE_MS = 6 * SECOND_MS;

/** No engine memory is held once every caller has gone. */
export const memoryIsFree: Check = (log) =>
  log.held.map(({ engine, attempts }) =>
    violation('memory', `${engine} still holds memory for ${attempts.join(', ')}`),
  );

/** No upstream sees a key. */
export const keysStayInside: Check = (log) =>
  log.scenario.team.flatMap((team) => {
    const key = keyOf(team.id);
    const seen = log.records.find((record) => JSON.stringify(record).includes(key));
    return seen === undefined
      ? []
      : [violation('key_hidden', `${seen.upstream} saw the key of ${team.id}`)];
  });

/** The version in force at a host never goes back. */
export const versionsOnlyGrow: Check = (log) =>
  log.versions.flatMap((seen, index) => {
    const before = log.versions
      .slice(0, index)
      .filter((other) => other.host === seen.host && other.starts === seen.starts)
      .at(-1);
    if (before === undefined || before.version <= seen.version) return [];
    const message = `${seen.host} went from version ${before.version} back to ${seen.version}`;
    return [violation('version_grows', message)];
  });

/** A host that leaves starts no new work after a few seconds, and no advice names it. */
export const leavingHostsGetNoWork: Check = (log) =>
  log.drains.flatMap(({ host, at, starts }) => {
    const back = log.versions.find((seen) => seen.host === host && seen.starts > starts)?.at;
    const isLate = (time: number): boolean => time > at + LEAVING_MS && time < (back ?? Infinity);
    const served = log.requests
      .filter(({ sends }) => sends.some((send) => send.host === host && isLate(send.at)))
      .filter(({ request }) => servedBy(log, host, request.id));
    const advised = log.advice.filter((one) => isLate(one.at) && one.hosts.includes(host));
    return [
      ...served.map(({ request }) =>
        violation('leaving', `${host} served ${request.id} while leaving`),
      ),
      ...advised.map((one) => violation('leaving', `${one.from} still advised ${host}`)),
    ];
  });

/** A graceful shutdown cuts no request in flight. */
export const drainsCutNothing: Check = (log) =>
  log.drains.flatMap(({ host, at }) =>
    log.requests
      .filter((entry) =>
        entry.sends.some(
          (send) => send.host === host && send.at <= at && send.outcome.type === 'broken',
        ),
      )
      .filter((entry) => entry.sends.every((send) => send.endedAt >= at))
      .map((entry) => violation('drain', `${host} cut ${entry.request.id} while draining`)),
  );

/** A withdrawn key stops within seconds, also on streams that are open. */
export const withdrawnKeysStop: Check = (log) =>
  log.applied.flatMap(({ at, config }) => {
    const withdrawn = config.teams.filter((team) => team.keyDigests.length === 0);
    return withdrawn.flatMap((team) =>
      log.requests
        .filter((entry) => entry.request.work.team === team.id)
        .filter((entry) =>
          entry.sends.some(
            (send) => send.lastTokenAt !== undefined && send.lastTokenAt > at + IN_FORCE_MS,
          ),
        )
        .map((entry) =>
          violation('withdrawn_key', `${entry.request.id} got tokens after ${team.id}'s key ended`),
        ),
    );
  });

/** Every change that an operator applies is accepted in the end, also when operators race. */
export const changesAreAccepted: Check = (log) =>
  log.applied.flatMap(({ at, version }) =>
    version === undefined || version === 0
      ? [violation('accepted', `the change of ${at} ms was not accepted`)]
      : [],
  );

/** An accepted configuration is in force everywhere within seconds. */
export const configurationIsInForce: Check = (log) =>
  log.applied.flatMap(({ at, version }) => {
    if (version === undefined) return [];
    const due = at + IN_FORCE_MS;
    return log.versions
      .filter((seen) => seen.at > due && seen.at <= due + SECOND_MS)
      .filter((seen) => seen.version < version && !isDisturbed(log, seen.host, seen.starts, at))
      .map((seen) =>
        violation('in_force', `${seen.host} still had version ${seen.version}, not ${version}`),
      );
  });

function servedBy(log: RunLog, host: string, request: string): boolean {
  return log.dispatches.some(
    (dispatch) => dispatch.host === host && dispatch.text.includes(`request=${request};`),
  );
}

/** Tells whether a host was paused, cut off or too young for the time limit to hold. */
function isDisturbed(log: RunLog, host: string, starts: number, at: number): boolean {
  const disturbed = log.scenario.step.some((step) => {
    if (step.do === 'pause_host') return step.host === host;
    if (step.do === 'cut') return step.between.includes(host);
    return step.do === 'platform' && step.state !== 'up';
  });
  const first = log.versions.find((seen) => seen.host === host && seen.starts === starts);
  return disturbed || (first !== undefined && first.at > at);
}
