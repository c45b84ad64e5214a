/** The last known revision of keys, so that a stale read of them is recognised. */

/** Keys remembered; the oldest are forgotten first, and a stale read of those goes unnoticed. */
const MAX_KEYS = 4_096;

/** A bounded map from key to revision. */
export class KnownRevisions {
    private readonly revisions = new Map<string, number>();

    /** Takes in that a key stood at a revision. */
    observe(key: string, revision: number): void {
        if (revision <= this.get(key)) {
            return;
        }
        this.revisions.delete(key);
        this.revisions.set(key, revision);
        if (this.revisions.size > MAX_KEYS) {
            const [oldest] = this.revisions.keys();
            this.revisions.delete(oldest ?? key);
        }
    }

    /** Returns the highest revision known of a key, 0 if none. */
    get(key: string): number {
        return this.revisions.get(key) ?? 0;
    }
}
