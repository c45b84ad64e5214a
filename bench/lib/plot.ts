/** Renders line plots as SVG, as the project has no plotting library among its packages. */
import type { Plot } from "./bench.js";
import { formatFigure } from "./figures.js";

const WIDTH = 640;
const HEIGHT = 360;
const MARGIN = { left: 70, right: 170, top: 36, bottom: 48 };
const COLORS = ["#0072b2", "#d55e00", "#009e73", "#cc79a7", "#56b4e9", "#e69f00", "#000000"];
const TICKS = 4;

interface Axis {
    readonly low: number;
    readonly high: number;
    readonly isLog: boolean;
}

/** @returns The plot as an SVG document. */
export function renderPlot(plot: Plot): string {
    const points = plot.series.flatMap(series => series.points);
    const xAxis = buildAxis(points.map(([x]) => x), plot.isLogX === true);
    const yAxis = buildAxis(points.map(([, y]) => y), plot.isLogY === true);
    const toX = (x: number) => MARGIN.left + computeShare(x, xAxis) * (WIDTH - MARGIN.left - MARGIN.right);
    const toY = (y: number) =>
        HEIGHT - MARGIN.bottom - computeShare(y, yAxis) * (HEIGHT - MARGIN.top - MARGIN.bottom);
    const parts = [
        `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}" font-family="sans-serif" font-size="11">`,
        `<rect width="${WIDTH}" height="${HEIGHT}" fill="white"/>`,
        buildText(MARGIN.left, 20, plot.title, "start", 13),
        buildText((WIDTH - MARGIN.right + MARGIN.left) / 2, HEIGHT - 10, plot.xLabel, "middle"),
        `<text transform="translate(14 ${HEIGHT / 2}) rotate(-90)" text-anchor="middle">${
            formatXml(plot.yLabel)
        }</text>`,
    ];
    for (let tick = 0; tick <= TICKS; tick++) {
        const x = computeValue(tick / TICKS, xAxis);
        const y = computeValue(tick / TICKS, yAxis);
        parts.push(
            `<line x1="${MARGIN.left}" x2="${WIDTH - MARGIN.right}" y1="${toY(y)}" y2="${
                toY(y)
            }" stroke="#ddd"/>`,
        );
        parts.push(buildText(MARGIN.left - 6, toY(y) + 4, formatFigure(y), "end"));
        parts.push(buildText(toX(x), HEIGHT - MARGIN.bottom + 16, formatFigure(x), "middle"));
    }
    plot.series.forEach((series, index) => {
        const color = COLORS[index % COLORS.length] ?? "#000000";
        const path = series.points.map(([x, y]) => `${toX(x).toFixed(1)},${toY(y).toFixed(1)}`).join(" ");
        parts.push(`<polyline points="${path}" fill="none" stroke="${color}" stroke-width="2"/>`);
        for (const [x, y] of series.points) {
            parts.push(`<circle cx="${toX(x).toFixed(1)}" cy="${toY(y).toFixed(1)}" r="3" fill="${color}"/>`);
        }
        const y = MARGIN.top + 14 * index;
        parts.push(
            `<rect x="${WIDTH - MARGIN.right + 10}" y="${y - 8}" width="10" height="10" fill="${color}"/>`,
        );
        parts.push(buildText(WIDTH - MARGIN.right + 25, y + 1, series.name, "start"));
    });
    return `${parts.join("\n")}\n</svg>\n`;
}

function buildAxis(values: readonly number[], isLog: boolean): Axis {
    const usable = isLog ? values.filter(value => value > 0) : values;
    const high = usable.length === 0 ? 1 : Math.max(...usable);
    const low = isLog ? Math.min(high, ...usable) : 0;
    return { low, high: high > low ? high : low + 1, isLog };
}

function computeShare(value: number, axis: Axis): number {
    if (!axis.isLog) {
        return (value - axis.low) / (axis.high - axis.low);
    }
    return Math.log(Math.max(value, axis.low) / axis.low) / Math.log(axis.high / axis.low);
}

function computeValue(share: number, axis: Axis): number {
    return axis.isLog ?
        axis.low * (axis.high / axis.low) ** share :
        axis.low + share * (axis.high - axis.low);
}

function buildText(x: number, y: number, text: string, anchor: string, size = 11): string {
    return `<text x="${x}" y="${y}" text-anchor="${anchor}" font-size="${size}">${formatXml(text)}</text>`;
}

function formatXml(text: string): string {
    return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;");
}
