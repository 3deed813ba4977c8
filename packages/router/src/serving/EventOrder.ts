/** What an event is to the stream that it arrives in. */
export type EventPlace = 'next' | 'repeated' | 'missing';

/** Order of the events of a stream that goes on at other engines. */
export class EventOrder {
  private nextPosition: number | undefined;

  private hasGaps = false;

  private hasSwitched = false;

  /** Tells whether any event has arrived. */
  hasBegun(): boolean {
    return this.nextPosition !== undefined;
  }

  /** Gets the position of the next event. */
  getNext(): number {
    return this.nextPosition ?? 0;
  }

  /** Tells whether positions have had no gap and no repetition, so that events can be told apart. */
  isSound(): boolean {
    return !this.hasGaps;
  }

  /** Records that the stream goes on at another engine, which may repeat events. */
  recordSwitch(): void {
    this.hasSwitched = true;
  }

  /** Tells whether the stream has gone on at another engine. */
  isResumed(): boolean {
    return this.hasSwitched;
  }

  /**
   * Places an event.
   *
   * @param position - Its position.
   * @returns Whether it is the next one; only then it counts.
   */
  place(position: number): EventPlace {
    const expected = this.nextPosition ?? position;
    if (this.hasSwitched && position < expected) return 'repeated';
    if (this.hasSwitched && position > expected) return 'missing';
    this.hasGaps ||= position !== expected;
    this.nextPosition = position + 1;
    return 'next';
  }
}
