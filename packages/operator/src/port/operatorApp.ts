import { createHash, timingSafeEqual } from 'node:crypto';
import { Hono } from 'hono';
import type { OperatorBackend } from './OperatorBackend.ts';
import { redact } from './redact.ts';

/** Settings of {@link operatorApp}. */
export interface OperatorAppOptions {
  /** The operators' bearer token, distinct from callers' keys. */
  readonly credential: string;
  /** The operations of the host. */
  readonly backend: OperatorBackend;
  /** Further texts to redact from dumps, such as the fleet's credential. */
  readonly secrets?: readonly string[];
}

/**
 * Creates the HTTP application of the operator port.
 *
 * @param options - The credential and the backend.
 * @returns The application; every route requires the credential.
 */
export function operatorApp(options: OperatorAppOptions): Hono {
  const { backend, credential } = options;
  const secrets = [credential, ...(options.secrets ?? [])];
  const app = new Hono();
  app.use('*', async (c, next) => {
    if (isCredential(c.req.header('authorization'), credential)) return next();
    return c.json({ code: 'unauthorized', message: 'The operator credential is required.' }, 401);
  });
  app.get('/v1/dump', async (c) => c.json(redact(await backend.dump(), secrets) as object));
  app.get('/v1/status', (c) => c.json(backend.status()));
  app.post('/v1/drain', (c) => {
    backend.drain();
    return c.json(backend.status(), 202);
  });
  app.notFound((c) => c.json({ code: 'not_found', message: 'No such route.' }, 404));
  return app;
}

/**
 * Compares digests in constant time; comparing the texts would reveal through timing how much of a
 * guess is right.
 */
function isCredential(header: string | undefined, credential: string): boolean {
  const token = /^Bearer (.+)$/.exec(header ?? '')?.[1] ?? '';
  return credential !== '' && timingSafeEqual(digest(token), digest(credential));
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
