/** A one-shot notification for any number of waiters. */

/** An event that happens at most once and that several parties can wait for. */
export class Signal {
    private settle: () => void = () => undefined;
    private readonly notified = new Promise<void>(resolve => {
        this.settle = resolve;
    });

    /** Resolves when the event happens, or immediately if it already has. */
    wait(): Promise<void> {
        return this.notified;
    }

    /** Marks the event as happened and resolves all waits; further calls have no effect. */
    notify(): void {
        this.settle();
    }
}
