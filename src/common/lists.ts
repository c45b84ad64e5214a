/** Operations on lists of any length: as arguments of one call, long lists would overflow the stack. */

/**
 * Returns the greatest of some numbers.
 * @param atLeast - The result if no number is greater.
 */
export function computeMax(values: Iterable<number>, atLeast = -Infinity): number {
    let max = atLeast;
    for (const value of values) {
        max = Math.max(max, value);
    }
    return max;
}

/**
 * Returns the least of some numbers.
 * @param atMost - The result if no number is less.
 */
export function computeMin(values: Iterable<number>, atMost = Infinity): number {
    let min = atMost;
    for (const value of values) {
        min = Math.min(min, value);
    }
    return min;
}

/** Appends all items to a list. */
export function appendAll<T>(list: T[], items: Iterable<T>): void {
    for (const item of items) {
        list.push(item);
    }
}
