import { createHash, timingSafeEqual } from 'node:crypto';
import { Hono } from 'hono';
import type { OperatorBackend } from './OperatorBackend.ts';
import { redact } from './redact.ts';

/** Settings of {@link operatorApp}. */
export interface OperatorAppOptions {
  /** What operators show; it is none of the callers' keys. */
  readonly credential: string;
  readonly backend: OperatorBackend;
  /** Further texts that no dump may hold, such as the fleet's credential. */
  readonly secrets?: readonly string[];
}

/**
 * Makes the routes of the operators' port.
 *
 * @param options - The credential and what the host offers.
 * @returns The application; every route asks for the credential.
 */
export function operatorApp(options: OperatorAppOptions): Hono {
  const { backend, credential } = options;
  const secrets = [credential, ...(options.secrets ?? [])];
  const app = new Hono();
  app.use('*', async (c, next) => {
    if (isCredential(c.req.header('authorization'), credential)) return next();
    return c.json(
      { code: 'unauthorized', message: 'This port needs the operators’ credential.' },
      401,
    );
  });
  app.get('/v1/dump', async (c) => c.json(redact(await backend.dump(), secrets) as object));
  app.get('/v1/status', (c) => c.json(backend.status()));
  app.post('/v1/drain', (c) => {
    backend.drain();
    return c.json(backend.status(), 202);
  });
  app.notFound((c) => c.json({ code: 'not_found', message: 'There is no such route.' }, 404));
  return app;
}

/**
 * Compares digests in constant time: comparing the texts would tell, by how long it takes, how much
 * of a guess is right.
 */
function isCredential(header: string | undefined, credential: string): boolean {
  const shown = /^Bearer (.+)$/.exec(header ?? '')?.[1] ?? '';
  return credential !== '' && timingSafeEqual(digest(shown), digest(credential));
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
