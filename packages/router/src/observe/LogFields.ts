/** What a log line carries besides its name; plain values, never a key or a prompt. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;
