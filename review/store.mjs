/* eslint-disable */
// Stand-in of the platform's metadata store: kinds of objects over HTTP, with lists, watches and conditional writes.
import { createServer } from 'node:http';

const HISTORY_LIMIT = 100_000;

export class Store {
  objects = new Map();
  changes = [];
  revision = 100;
  watchers = new Set();

  constructor() {
    this.server = createServer((req, res) => void this.serve(req, res));
    this.server.keepAliveTimeout = 60_000;
  }

  listen(ip, port) {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, ip, resolve);
    });
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Writes an object as the operator or a server does; returns when it was acknowledged. */
  write(kind, name, spec) {
    this.set(kind, name, { spec });
    return Date.now();
  }

  remove(kind, name) {
    this.erase(kind, name);
    return Date.now();
  }

  async serve(req, res) {
    const chunks = [];
    try {
      for await (const chunk of req) chunks.push(chunk);
    } catch {
      return;
    }
    const url = new URL(req.url, 'http://store');
    const [, , kind = '', rawName, sub] = url.pathname.split('/');
    const name = rawName === undefined ? undefined : decodeURIComponent(rawName);
    const text = Buffer.concat(chunks).toString();
    const body = text === '' ? {} : JSON.parse(text);
    const send = (status, value) => {
      if (res.destroyed) return;
      res.writeHead(status, { 'content-type': 'application/json' });
      res.end(JSON.stringify(value));
    };
    if (req.method === 'GET' && url.searchParams.has('watch')) {
      this.watch(kind, url, res, send);
      return;
    }
    // The store takes 4 ms for an answer.
    setTimeout(() => send(...this.handle(req.method, kind, name, sub, body, url)), 4);
  }

  handle(method, kind, name, sub, body, url) {
    const key = `${kind}/${name}`;
    const known = this.objects.get(key);
    const expected =
      body.metadata?.revision ?? (Number(url.searchParams.get('revision')) || undefined);
    const isStale =
      known !== undefined && expected !== undefined && expected !== known.metadata.revision;
    if (method === 'GET' && name === undefined) {
      const after = url.searchParams.get('after') ?? '';
      const items = [...this.objects.values()]
        .filter((one) => one.kind === kind && one.metadata.name > after)
        .sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1))
        .map(toBody);
      const page = items.slice(0, 500);
      return [
        200,
        { items: page, truncated: page.length < items.length, 'current-rev': this.revision },
      ];
    }
    if (method === 'GET') return known === undefined ? [404, {}] : [200, toBody(known)];
    if (method === 'POST') {
      const created = this.objects.get(`${kind}/${body.metadata.name}`);
      if (created !== undefined) return [409, toBody(created)];
      return [200, toBody(this.set(kind, body.metadata.name, body))];
    }
    if (known === undefined) return [404, {}];
    if (isStale) return [409, toBody(known)];
    if (method === 'DELETE') {
      this.erase(kind, name);
      return [200, {}];
    }
    return [
      200,
      toBody(
        this.set(kind, name, sub === 'status' ? { spec: known.spec, status: body.status } : body),
      ),
    ];
  }

  watch(kind, url, res, send) {
    const after = Number(url.searchParams.get('watch'));
    const waitMs = Math.min(30_000, Number(url.searchParams.get('wait-ms') ?? 0));
    const answer = (isLast) => {
      const events = this.changes
        .filter((change) => change.kind === kind && change.revision > after)
        .map(({ object, deleted }) => ({ object, deleted }));
      if (events.length === 0 && !isLast) return false;
      send(200, { events, 'current-rev': this.revision });
      return true;
    };
    if (answer(waitMs === 0)) return;
    const stop = () => {
      clearTimeout(timer);
      this.watchers.delete(notify);
    };
    const notify = () => {
      if (answer(false)) stop();
    };
    const timer = setTimeout(() => {
      stop();
      answer(true);
    }, waitMs);
    this.watchers.add(notify);
    res.once('close', stop);
  }

  set(kind, name, { spec, status = null, metadata }) {
    const key = `${kind}/${name}`;
    const known = this.objects.get(key);
    if (
      known !== undefined &&
      JSON.stringify([known.spec, known.status]) === JSON.stringify([spec, status])
    )
      return known;
    this.revision += 1;
    const entry = {
      kind,
      metadata: {
        name,
        revision: this.revision,
        'create-revision': known?.metadata['create-revision'] ?? this.revision,
        finalizers: metadata?.finalizers ?? [],
        deleting: false,
      },
      spec,
      status,
    };
    this.objects.set(key, entry);
    this.record({ revision: this.revision, kind, object: toBody(entry), deleted: false });
    return entry;
  }

  erase(kind, name) {
    const known = this.objects.get(`${kind}/${name}`);
    if (known === undefined) return;
    this.objects.delete(`${kind}/${name}`);
    this.revision += 1;
    const object = toBody({ ...known, metadata: { ...known.metadata, revision: this.revision } });
    this.record({ revision: this.revision, kind, object, deleted: true });
  }

  record(change) {
    this.changes.push(change);
    if (this.changes.length > HISTORY_LIMIT) this.changes.shift();
    [...this.watchers].forEach((notify) => notify());
  }
}

function toBody({ metadata, spec, status }) {
  return { metadata, spec, status };
}
