/** Id of a host (one process of the router), from its settings. */
export type HostId = string;

/** Id of an availability zone. */
export type ZoneId = string;

/** Id of a team (a tenant). */
export type TeamId = string;

/** Name of a model that callers request. */
export type ModelId = string;

/** Id of an upstream: a model engine or one server of a plain service. */
export type UpstreamId = string;

/** Id of a plain service in the configuration. */
export type ServiceId = string;

/** Id of a caller's request, from acceptance to the end of its response. */
export type RequestId = string;

/** Id of one dispatch of a request to one upstream; responses are checked against it. */
export type AttemptId = string;

/** Id of one reservation of engine memory. */
export type ReservationId = string;

/** Id of one run of a host; a restarted host has a new incarnation. */
export type Incarnation = string;
