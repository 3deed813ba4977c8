const FIRST_SUCCESS = 200;
const FIRST_REDIRECT = 300;

/** Tells whether an HTTP status reports a success. */
export function isSuccessStatus(status: number): boolean {
  return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
}
