/** Parses node log lines from a file with the standard output of one or more nodes. */

export interface LogLine {
    /** Wall-clock time of the node, in milliseconds since 1970. */
    readonly time: number;
    /** Name of the node that wrote the line. */
    readonly member: string;
    readonly event: string;
    readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * Parses log lines and sorts them by time; text that is not a node's log line is skipped.
 * @param text - File contents. Each line may have a prefix added by a log collector.
 */
export function parseLogLines(text: string): readonly LogLine[] {
    return text
        .split("\n")
        .flatMap(parseLine)
        .sort((left, right) => left.time - right.time);
}

function parseLine(line: string): LogLine[] {
    const begin = line.indexOf("{");
    if (begin < 0) {
        return [];
    }
    let fields: Record<string, unknown>;
    try {
        fields = JSON.parse(line.slice(begin)) as Record<string, unknown>;
    }
    catch {
        // A truncated line is not reliable.
        return [];
    }
    const { time, member, event } = fields;
    const isLine = typeof time === "number" && typeof member === "string" && typeof event === "string";
    return isLine ? [{ time, member, event, fields }] : [];
}
