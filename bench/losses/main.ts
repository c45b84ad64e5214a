/**
 * Reports why jobs were late, from the log lines of all nodes: `npm run losses -- FILE…`. Each late job counts towards
 * the cause that took most of its time; jobs whose end was not logged are not counted as late.
 */
import { readFileSync } from "node:fs";
import { chooseMainCause, findDisruptions, LossCause } from "./causes.js";
import { buildTimelines } from "./job-timeline.js";
import type { JobTimeline } from "./job-timeline.js";
import { parseLogLines } from "./log-lines.js";

const NAME_WIDTH = 16;
const CELL_WIDTH = 12;
const CAUSES = Object.values(LossCause);

const files = process.argv.slice(2);
if (files.length === 0) {
    console.error("usage: npm run losses -- FILE…   files with the standard output of all nodes");
    process.exit(1);
}
const lines = parseLogLines(files.map(file => readFileSync(file, "utf8")).join("\n"));
const disruptions = findDisruptions(lines);
const queues = new Map<string, JobTimeline[]>();
for (const job of buildTimelines(lines)) {
    queues.set(job.queue, [...queues.get(job.queue) ?? [], job]);
}
printRow("queue", "jobs", "closed", "late", ...CAUSES);
for (const [queue, jobs] of queues) {
    const causes = jobs.flatMap(job => chooseMainCause(job, disruptions) ?? []);
    const counts = CAUSES.map(cause => causes.filter(other => other === cause).length);
    const closed = jobs.filter(job => job.closedAt !== undefined).length;
    printRow(queue, jobs.length, closed, causes.length, ...counts);
}

function printRow(name: string, ...cells: readonly (string | number)[]): void {
    console.log(name.padEnd(NAME_WIDTH) + cells.map(cell => String(cell).padStart(CELL_WIDTH)).join(""));
}
