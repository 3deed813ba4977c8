/**
 * Has assertions without a message fail without one, in place of the source text of their condition.
 *
 * The runtime finds that text by parsing the file. In a minified bundle, with lines of some hundred kilobytes, that takes
 * seconds, in which the process serves nobody; an upstream can make an assertion of undici fail.
 */
export const plainAsserts = {
  name: 'plain-asserts',
  setup: ({ onResolve, onLoad }) => {
    onResolve({ filter: /^(node:)?assert$/ }, ({ namespace }) =>
      namespace === 'plain-asserts'
        ? { path: 'node:assert', external: true }
        : { path: 'assert', namespace: 'plain-asserts' },
    );
    onLoad({ filter: /.*/, namespace: 'plain-asserts' }, () => ({
      contents: `
        const assert = require('node:assert');
        function plain(value, message = 'an assertion failed') {
          assert(value, message);
        }
        module.exports = Object.assign(plain, assert, { ok: plain });`,
    }));
  },
};
