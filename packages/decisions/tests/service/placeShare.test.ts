import assert from 'node:assert/strict';
import { test } from 'node:test';
import { placeShare } from '@camphorvane/decisions';

const SITE = { places: 18, hosts: 6, unheard: 0 };

test('a host that has many calls gets places that the others leave empty', () => {
  assert.equal(placeShare({ ...SITE, own: 9, others: 3 }), 10);
});

test('where all places are wanted each host gets its part of the calls', () => {
  assert.equal(placeShare({ ...SITE, own: 24, others: 12 }), 12);
});

// A host is cut off from all others. It must not take the places that they use unheard.
test('a host that hears nobody keeps to its equal part', () => {
  [0, 2, 30].forEach((own) =>
    assert.equal(placeShare({ ...SITE, own, others: 0, unheard: 5 }), own > 3 ? 3 : 3),
  );
});

test('hosts that hear each other never get more than there is', () => {
  const calls = [14, 9, 5, 2, 0, 0];
  const all = calls.reduce((sum, own) => sum + own, 0);
  const given = calls.map((own) => placeShare({ ...SITE, own, others: all - own }));
  assert.ok(given.reduce((sum, share) => sum + share, 0) <= SITE.places + 1e-9, given.join());
});
