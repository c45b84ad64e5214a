/** Prints reports and updates the figures of pages in docs/measurements; text outside the figures is preserved. */
import { existsSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { cpus, totalmem } from "node:os";
import type { Bench, BenchReport, FigureTable } from "./bench.js";
import { renderPlot } from "./plot.js";

const FOLDER = "docs/measurements";
const BEGIN = "<!-- figures: written by npm run bench -->";
const END = "<!-- end of figures -->";
const GIB = 2 ** 30;

export function printReport(bench: Bench, report: BenchReport, seed: number, tookMs: number): void {
    console.log(`\n== ${bench.name} (seed ${seed}, ${(tookMs / 1_000).toFixed(1)} s) ${bench.about}`);
    console.log(renderFigures(report));
}

/** Writes the page and plots of a report. */
export function writeReport(bench: Bench, report: BenchReport, seed: number): void {
    mkdirSync(FOLDER, { recursive: true });
    const page = `${FOLDER}/${bench.name}.md`;
    const plots = report.plots.map((plot, index) => {
        const file = `${bench.name}${index === 0 ? "" : `-${index + 1}`}.svg`;
        writeFileSync(`${FOLDER}/${file}`, renderPlot(plot));
        return `![${plot.title}](${file})`;
    });
    const figures = [
        BEGIN,
        `Command: \`npm run bench -- ${bench.name} --write\`. Seed ${seed}. Machine: ${cpus().length} cores, ` +
        `${Math.round(totalmem() / GIB)} GiB, shared with other processes.`,
        "",
        renderFigures(report),
        plots.join("\n\n"),
        END,
    ].join("\n");
    const before = existsSync(page) ?
        readFileSync(page, "utf8") :
        `# ${bench.name}: ${bench.about}\n\n${BEGIN}${END}\n`;
    const begin = before.indexOf(BEGIN);
    const end = before.indexOf(END) + END.length;
    writeFileSync(page, before.slice(0, begin) + figures + before.slice(end));
}

function renderFigures(report: BenchReport): string {
    const targets: FigureTable = {
        title: "Targets",
        rows: [
            ["target", "measured", "met"],
            ...report.targets.map(check => [check.target, check.measured, check.met ? "yes" : "NO"]),
        ],
    };
    const tables = report.targets.length > 0 ? [...report.tables, targets] : report.tables;
    return tables.map(renderTable).join("\n");
}

function renderTable(table: FigureTable): string {
    const [head = [], ...rows] = table.rows;
    const lines = [head, head.map(() => "---"), ...rows].map(row => `| ${row.join(" | ")} |`);
    return `**${table.title}**\n\n${lines.join("\n")}\n`;
}
