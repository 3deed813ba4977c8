/** Where a value stands: names of keys and numbers of list entries. */
export type DeclarationPath = readonly PropertyKey[];

const TABLE = /^\s*(\[\[?)\s*([A-Za-z0-9_.\s-]+?)\s*\]/;
const KEY = /^\s*([A-Za-z0-9_-]+)\s*=/;

/**
 * Finds the lines of tables and keys in a TOML text, as a help for people.
 *
 * The TOML library keeps no positions. This only looks at the start of each line, which suits what
 * the builder library prints; where a file is written otherwise, the nearest table is named.
 */
export class DeclarationLines {
  private readonly lines = new Map<string, number>();

  private readonly counts = new Map<string, number>();

  private table = '';

  /** @param text - The TOML text. */
  constructor(text: string) {
    text.split('\n').forEach((line, index) => this.note(line, index + 1));
  }

  /**
   * Gets the line of a value.
   *
   * @param path - Where the value stands.
   * @returns The line, counted from 1, of the value or of the nearest table around it.
   */
  getLine(path: DeclarationPath): number | undefined {
    if (path.length === 0) return undefined;
    return this.lines.get(path.map(String).join('.')) ?? this.getLine(path.slice(0, -1));
  }

  private note(line: string, number: number): void {
    const table = TABLE.exec(line);
    if (table) {
      this.enter(table[2]!.replaceAll(/\s/g, ''), table[1] === '[[');
      this.lines.set(this.table, number);
      return;
    }
    const key = KEY.exec(line)?.[1];
    if (key !== undefined) {
      this.lines.set(this.table === '' ? key : `${this.table}.${key}`, number);
    }
  }

  /** Turns `pools.engines` into `pools.2.engines.0`, by the tables that came before. */
  private enter(name: string, isList: boolean): void {
    const names = name.split('.');
    const parent = names.slice(0, -1).reduce((path, part) => this.latest(join(path, part)), '');
    const own = join(parent, names.at(-1)!);
    if (isList) this.counts.set(own, (this.counts.get(own) ?? 0) + 1);
    this.table = isList ? this.latest(own) : own;
  }

  private latest(path: string): string {
    const count = this.counts.get(path);
    return count === undefined ? path : `${path}.${count - 1}`;
  }
}

function join(parent: string, name: string): string {
  return parent === '' ? name : `${parent}.${name}`;
}
