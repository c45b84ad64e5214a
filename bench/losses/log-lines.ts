/** Log lines of nodes, as they stand in a file of one or more nodes' standard output. */

/** One line. */
export interface LogLine {
    /** Wall-clock time of the node, in milliseconds since 1970. */
    readonly time: number;
    /** Node that wrote it. */
    readonly member: string;
    readonly event: string;
    readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * Parses lines, in the order of their times; what is no line of a node is passed over.
 * @param text - The file. A collector may have put something before each line.
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
        // A line that was cut short says nothing for certain.
        return [];
    }
    const { time, member, event } = fields;
    const isLine = typeof time === "number" && typeof member === "string" && typeof event === "string";
    return isLine ? [{ time, member, event, fields }] : [];
}
