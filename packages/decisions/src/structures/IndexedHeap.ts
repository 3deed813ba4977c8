interface Entry<Id> {
  readonly id: Id;
  key: number;
  /** Order of insertion, so that equal keys come out first in, first out. */
  readonly order: number;
}

/**
 * A binary min-heap whose entries can be found, moved and removed by id in logarithmic time.
 *
 * Every ordered choice of the scheduler (which team, which engine, which deadline) stands on it, so
 * that a decision's cost grows with the logarithm of the pool and not with the pool.
 */
export class IndexedHeap<Id> {
  private readonly entries: Entry<Id>[] = [];

  private readonly positions = new Map<Id, number>();

  private inserted = 0;

  /** Gets the number of entries. */
  get size(): number {
    return this.entries.length;
  }

  /** Tells whether an id is in the heap. */
  has(id: Id): boolean {
    return this.positions.has(id);
  }

  /** Gets the id with the smallest key, if there is any. */
  peek(): Id | undefined {
    return this.entries[0]?.id;
  }

  /** Gets the smallest key, if there is any. */
  peekKey(): number | undefined {
    return this.entries[0]?.key;
  }

  /**
   * Adds an id, or gives it another key.
   *
   * @param id - What is ordered.
   * @param key - Its place in the order; smaller comes first.
   */
  set(id: Id, key: number): void {
    const at = this.positions.get(id);
    const known = at === undefined ? undefined : this.entries[at];
    if (at === undefined || known === undefined) {
      this.insert(id, key);
      return;
    }
    if (known.key === key) return;
    known.key = key;
    this.sink(this.rise(at));
  }

  /** Takes an id out; ids that are not there are ignored. */
  delete(id: Id): void {
    const at = this.positions.get(id);
    if (at === undefined) return;
    this.positions.delete(id);
    const last = this.entries.pop();
    if (last === undefined || at === this.entries.length) return;
    this.put(at, last);
    this.sink(this.rise(at));
  }

  /**
   * Finds the first entry, in the order of keys, that fits.
   *
   * @param fits - Tells whether an id will do.
   * @param limit - Most entries to look at, which bounds the cost.
   * @returns The id, or undefined where none of those looked at fits.
   */
  find(fits: (id: Id) => boolean, limit: number): Id | undefined {
    const frontier = this.entries.length > 0 ? [0] : [];
    let looked = 0;
    while (frontier.length > 0 && looked < limit) {
      const at = this.takeSmallest(frontier);
      const entry = this.entries[at];
      if (entry !== undefined && fits(entry.id)) return entry.id;
      looked += 1;
      frontier.push(...[2 * at + 1, 2 * at + 2].filter((child) => child < this.entries.length));
    }
    return undefined;
  }

  private insert(id: Id, key: number): void {
    this.inserted += 1;
    this.entries.push({ id, key, order: this.inserted });
    this.positions.set(id, this.entries.length - 1);
    this.rise(this.entries.length - 1);
  }

  private takeSmallest(frontier: number[]): number {
    const best = frontier.reduce((least, at, index) => {
      const other = frontier[least] ?? at;
      return this.precedes(at, other) ? index : least;
    }, 0);
    return frontier.splice(best, 1)[0] ?? 0;
  }

  private precedes(a: number, b: number): boolean {
    const left = this.entries[a];
    const right = this.entries[b];
    if (left === undefined || right === undefined) return false;
    return left.key < right.key || (left.key === right.key && left.order < right.order);
  }

  private rise(start: number): number {
    let at = start;
    while (at > 0) {
      const parent = Math.floor((at - 1) / 2);
      if (!this.precedes(at, parent)) return at;
      this.swap(at, parent);
      at = parent;
    }
    return at;
  }

  private sink(start: number): void {
    let at = start;
    let child = this.smallerChild(at);
    while (child !== undefined && this.precedes(child, at)) {
      this.swap(at, child);
      at = child;
      child = this.smallerChild(at);
    }
  }

  private smallerChild(at: number): number | undefined {
    const left = 2 * at + 1;
    if (left >= this.entries.length) return undefined;
    return this.precedes(left + 1, left) ? left + 1 : left;
  }

  private swap(a: number, b: number): void {
    const left = this.entries[a];
    const right = this.entries[b];
    if (left === undefined || right === undefined) return;
    this.put(a, right);
    this.put(b, left);
  }

  private put(at: number, entry: Entry<Id>): void {
    this.entries[at] = entry;
    this.positions.set(entry.id, at);
  }
}
