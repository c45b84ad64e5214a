/**
 * Incarnations of workers. A worker may start again under the name that it had; it then knows nothing of its
 * earlier runs, and its clock and the numbers of its ends begin anew. An incarnation is a name and a start,
 * and its id is the `workerId` of sessions, assignments, the journal and logs.
 */

/** One start of a worker's process. */
export interface Incarnation {
    /** The worker's name on the platform. */
    readonly name: string;
    /**
     * When its process started, in milliseconds since 1970; undefined on platforms that give each start a name
     * of its own.
     */
    readonly startedAt: number | undefined;
}

const SEPARATOR = "@";
const PATTERN = /^(.*)@(\d*)$/s;

/** Builds the id of an incarnation: its name alone if its start is unknown. */
export function buildIncarnationId({ name, startedAt }: Incarnation): string {
    if (startedAt !== undefined) {
        return `${name}${SEPARATOR}${startedAt}`;
    }
    // A name that looks like an id with a start is marked as having none.
    return PATTERN.test(name) ? `${name}${SEPARATOR}` : name;
}

/** Parses the id of an incarnation. */
export function parseIncarnationId(workerId: string): Incarnation {
    const [, name = workerId, start = ""] = PATTERN.exec(workerId) ?? [];
    return { name, startedAt: start === "" ? undefined : Number(start) };
}

/** Tells whether two ids are of incarnations of one worker. */
export function isSameWorker(workerId: string, otherId: string): boolean {
    return parseIncarnationId(workerId).name === parseIncarnationId(otherId).name;
}
