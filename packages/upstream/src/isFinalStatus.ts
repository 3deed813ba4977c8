const FIRST_FINAL = 200;
const LAST_FINAL = 599;

/** Tells whether HTTP allows a status in a response that ends its request; others make the response invalid. */
export function isFinalStatus(status: number): boolean {
  return status >= FIRST_FINAL && status <= LAST_FINAL;
}
