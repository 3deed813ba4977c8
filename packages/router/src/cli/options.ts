/** `--json`, for commands with a machine-readable result. */
export const JSON_OPTION = {
  json: { type: 'boolean', default: false, describe: 'Print JSON' },
} as const;

/** `--platform`, for commands that use the object API. */
export const PLATFORM_OPTION = {
  platform: {
    type: 'string',
    demandOption: true,
    default: process.env.CAMPHORVANE_PLATFORM,
    defaultDescription: 'the environment variable CAMPHORVANE_PLATFORM',
    describe: 'Base URL of the object API, such as http://127.0.0.1:9000',
  },
} as const;

/** `--credential`, for commands that use the operator interface of a host. */
export const CREDENTIAL_OPTION = {
  credential: {
    type: 'string',
    demandOption: true,
    default: process.env.CAMPHORVANE_CREDENTIAL,
    defaultDescription: 'the environment variable CAMPHORVANE_CREDENTIAL',
    describe: "Credential of the host's operator interface",
  },
} as const;
