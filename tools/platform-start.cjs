// Starts the bundled host with the code that was compiled when it was built, which makes a start cheaper.
const { readFileSync, writeFileSync } = require('node:fs');
const Module = require('node:module');
const path = require('node:path');
const vm = require('node:vm');

const file = path.join(__dirname, 'host.cjs');
const cacheFile = path.join(__dirname, 'host.cache');
const isBuild = process.argv.includes('--write-cache');

const cachedData = isBuild ? undefined : readFileSync(cacheFile);
const script = new vm.Script(Module.wrap(readFileSync(file, 'utf8')), {
  filename: file,
  cachedData,
});
const loaded = { exports: {} };
script.runInThisContext()(loaded.exports, require, loaded, file, __dirname);

if (isBuild) {
  // By then the functions that run at each start are compiled too.
  process.once('exit', () => {
    writeFileSync(cacheFile, script.createCachedData());
    process.exitCode = 0;
  });
} else if (script.cachedDataRejected) {
  process.stderr.write('host.cache was made by another runtime or with other flags; not used\n');
}
