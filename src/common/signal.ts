/** Something that several parties wait for and that happens once. */

/** The signal; see the module comment. */
export class Signal {
    private settle: () => void = () => undefined;
    private readonly happened = new Promise<void>(resolve => {
        this.settle = resolve;
    });

    /** Resolves once it has happened; at once if it has. */
    wait(): Promise<void> {
        return this.happened;
    }

    /** Lets all who wait go on. */
    notify(): void {
        this.settle();
    }
}
