/** Remembers the highest known revision of keys, to detect stale reads. */

/**
 * Maximum number of keys; the least recently updated are evicted first, and stale reads of those go
 * undetected.
 */
const MAX_KEYS = 4_096;

/** A bounded map from key to revision. */
export class KnownRevisions {
    private readonly revisions = new Map<string, number>();

    /** Records that a key was seen at a revision. */
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

    /** Returns the highest known revision of a key, or 0 if none is known. */
    get(key: string): number {
        return this.revisions.get(key) ?? 0;
    }
}
