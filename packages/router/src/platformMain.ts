import './cli/hangups.ts';
import { servePlatform } from './cli/servePlatformCommand.ts';

// The command `serve-platform` alone: without the other commands a host is ready half a second sooner.
void servePlatform();
