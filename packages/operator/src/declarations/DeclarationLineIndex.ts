/** Path of a value: key names and list indexes. */
export type DeclarationPath = readonly PropertyKey[];

const TABLE_HEADER = /^\s*(\[\[?)\s*([A-Za-z0-9_.\s-]+?)\s*\]/;
const KEY_ASSIGNMENT = /^\s*([A-Za-z0-9_-]+)\s*=/;

/**
 * Line numbers of tables and keys in a TOML text, for error messages.
 *
 * The TOML library keeps no positions. Only the start of each line is matched, which covers the output
 * of the builder library; for other layouts, the nearest enclosing table is found.
 */
export class DeclarationLineIndex {
  private readonly lines = new Map<string, number>();

  private readonly entryCounts = new Map<string, number>();

  private table = '';

  /** @param text - The TOML text. */
  constructor(text: string) {
    text.split('\n').forEach((line, index) => this.indexLine(line, index + 1));
  }

  /**
   * Gets the line of a value.
   *
   * @param path - The path of the value.
   * @returns The line, counted from 1, of the value or of the nearest enclosing table.
   */
  getLine(path: DeclarationPath): number | undefined {
    if (path.length === 0) return undefined;
    return this.lines.get(path.map(String).join('.')) ?? this.getLine(path.slice(0, -1));
  }

  private indexLine(line: string, number: number): void {
    const table = TABLE_HEADER.exec(line);
    if (table) {
      this.enterTable(table[2]!.replaceAll(/\s/g, ''), table[1] === '[[');
      this.lines.set(this.table, number);
      return;
    }
    const key = KEY_ASSIGNMENT.exec(line)?.[1];
    if (key !== undefined) {
      this.lines.set(this.table === '' ? key : `${this.table}.${key}`, number);
    }
  }

  /** Resolves a header such as `pools.engines` to `pools.2.engines.0` from the preceding headers. */
  private enterTable(name: string, isList: boolean): void {
    const names = name.split('.');
    const parent = names
      .slice(0, -1)
      .reduce((path, part) => this.latestEntry(join(path, part)), '');
    const tablePath = join(parent, names.at(-1)!);
    if (isList) this.entryCounts.set(tablePath, (this.entryCounts.get(tablePath) ?? 0) + 1);
    this.table = isList ? this.latestEntry(tablePath) : tablePath;
  }

  private latestEntry(path: string): string {
    const count = this.entryCounts.get(path);
    return count === undefined ? path : `${path}.${count - 1}`;
  }
}

function join(parent: string, name: string): string {
  return parent === '' ? name : `${parent}.${name}`;
}
