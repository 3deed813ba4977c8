import path from 'node:path';
import { build } from 'esbuild';
import { plainAsserts } from './plainAsserts.mjs';

/**
 * Takes undici's client and pools without its fetch, cache, mocks and web sockets.
 *
 * A host is started again several times on a bad day, on a third of a core, and callers wait until it
 * is ready. Loaded whole, undici is 555 KB of 1.4 MB and is run through at each start.
 */
const slimUndici = {
  name: 'slim-undici',
  setup: ({ onResolve, onLoad }) => {
    onResolve({ filter: /^undici$/ }, () => ({ path: 'undici', namespace: 'slim' }));
    onLoad({ filter: /.*/, namespace: 'slim' }, () => ({
      resolveDir: path.resolve('node_modules/undici'),
      contents: `
        const api = require('./lib/api');
        const Dispatcher = require('./lib/dispatcher/dispatcher');
        Object.assign(Dispatcher.prototype, api);
        exports.Client = require('./lib/dispatcher/client');
        exports.Pool = require('./lib/dispatcher/pool');
        exports.Agent = require('./lib/dispatcher/agent');
        exports.buildConnector = require('./lib/core/connect');
        exports.errors = require('./lib/core/errors');
        exports.DecoratorHandler = require('./lib/handler/decorator-handler');
        const util = require('./lib/core/util');
        const { getGlobalDispatcher } = require('./lib/global');
        exports.request = (url, { dispatcher = getGlobalDispatcher(), ...options } = {}) => {
          const { origin, pathname, search } = util.parseURL(url);
          const path = pathname + search;
          return api.request.call(dispatcher, { ...options, origin, path, method: options.method ?? 'GET' });
        };`,
    }));
  },
};

/**
 * Bundles a program as the platform runs it.
 *
 * @param entryPoint - Path of the program's first module.
 * @param outfile - Path of the bundle.
 */
export const bundleForPlatform = (entryPoint, outfile) =>
  build({
    entryPoints: [entryPoint],
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    outfile,
    minify: true,
    keepNames: true,
    logLevel: 'warning',
    plugins: [plainAsserts, slimUndici],
  });
