/** Version of the router, shown by `--version` and in the status of a host. */
export const VERSION = '0.1.0';
