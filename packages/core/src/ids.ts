/** Names a host (one process of the system), as its settings give it. */
export type HostId = string;

/** Names an availability zone. */
export type ZoneId = string;

/** Names a team (a tenant of the operators). */
export type TeamId = string;

/** Names a model that callers ask for. */
export type ModelId = string;

/** Names an upstream: a model engine or one server of a plain service. */
export type UpstreamId = string;

/** Names a plain service of the configuration. */
export type ServiceId = string;

/** Names a request as a caller sent it; one id from acceptance to the end of its answer. */
export type RequestId = string;

/** Names one dispatch of a request to one upstream; an answer is checked against it. */
export type AttemptId = string;

/** Names one reservation of engine memory. */
export type ReservationId = string;

/** Identifies one start of a host; a restarted host has another incarnation. */
export type Incarnation = string;
