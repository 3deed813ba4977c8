import './cli/hangups.ts';
import { requireRuntime } from './cli/requireRuntime.ts';
import { servePlatform } from './cli/servePlatformCommand.ts';

requireRuntime();
// Runs `serve-platform` without loading the other commands, so that a host is ready 500 ms sooner.
// A failed start ends the process, like any rejection that nothing handles.
servePlatform().catch((thrown: unknown) => {
  throw thrown;
});
