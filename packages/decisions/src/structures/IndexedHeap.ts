interface Entry<Id> {
  readonly id: Id;
  key: number;
  /** Insertion number, so that entries with equal keys are ordered first in, first out. */
  readonly sequence: number;
}

/**
 * A binary min-heap whose entries can be updated and removed by id in logarithmic time.
 *
 * The scheduler uses it for every ordered choice (team, engine, deadline), so that the cost of a
 * decision grows with the logarithm of the pool size.
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

  /** Gets the id with the smallest key; undefined if the heap is empty. */
  peek(): Id | undefined {
    return this.entries[0]?.id;
  }

  /** Gets the smallest key; undefined if the heap is empty. */
  peekKey(): number | undefined {
    return this.entries[0]?.key;
  }

  /**
   * Adds an id, or changes its key.
   *
   * @param id - The id.
   * @param key - Sort key; smaller keys come first.
   */
  set(id: Id, key: number): void {
    const at = this.positions.get(id);
    const entry = at === undefined ? undefined : this.entries[at];
    if (at === undefined || entry === undefined) {
      this.insert(id, key);
      return;
    }
    if (entry.key === key) return;
    entry.key = key;
    this.siftDown(this.siftUp(at));
  }

  /** Removes an id; unknown ids are ignored. */
  delete(id: Id): void {
    const at = this.positions.get(id);
    if (at === undefined) return;
    this.positions.delete(id);
    const last = this.entries.pop();
    if (last === undefined || at === this.entries.length) return;
    this.put(at, last);
    this.siftDown(this.siftUp(at));
  }

  /**
   * Finds the first id, in the order of keys, that satisfies a predicate.
   *
   * @param predicate - Tests an id.
   * @param limit - Maximum number of entries to test, which bounds the cost.
   * @returns The id, or undefined if none of the tested ones satisfies the predicate.
   */
  find(predicate: (id: Id) => boolean, limit: number): Id | undefined {
    const frontier = this.entries.length > 0 ? [0] : [];
    let tested = 0;
    while (frontier.length > 0 && tested < limit) {
      const at = this.popSmallest(frontier);
      const entry = this.entries[at];
      if (entry !== undefined && predicate(entry.id)) return entry.id;
      tested += 1;
      frontier.push(...[2 * at + 1, 2 * at + 2].filter((child) => child < this.entries.length));
    }
    return undefined;
  }

  private insert(id: Id, key: number): void {
    this.inserted += 1;
    this.entries.push({ id, key, sequence: this.inserted });
    this.positions.set(id, this.entries.length - 1);
    this.siftUp(this.entries.length - 1);
  }

  private popSmallest(frontier: number[]): number {
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
    return left.key < right.key || (left.key === right.key && left.sequence < right.sequence);
  }

  private siftUp(start: number): number {
    let at = start;
    while (at > 0) {
      const parent = Math.floor((at - 1) / 2);
      if (!this.precedes(at, parent)) return at;
      this.swap(at, parent);
      at = parent;
    }
    return at;
  }

  private siftDown(start: number): void {
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
