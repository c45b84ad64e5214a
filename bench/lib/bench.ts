/** Types of benches and their reports. */

/** One bench; `bench/table.ts` lists them. */
export interface Bench {
    /** Name on the command line and file name of its page in docs/measurements. */
    readonly name: string;
    /** One-line description for the list of benches. */
    readonly about: string;
    run(options: BenchOptions): Promise<BenchReport> | BenchReport;
}

export interface BenchOptions {
    /** Smaller and shorter, so that all benches together end within a minute. */
    readonly quick: boolean;
    readonly seed: number;
}

/** A table of figures; the first row is the header. */
export interface FigureTable {
    readonly title: string;
    readonly rows: readonly (readonly (string | number)[])[];
}

/** A line plot. */
export interface Plot {
    readonly title: string;
    readonly xLabel: string;
    readonly yLabel: string;
    readonly isLogX?: boolean;
    readonly isLogY?: boolean;
    readonly series: readonly PlotSeries[];
}

export interface PlotSeries {
    readonly name: string;
    readonly points: readonly (readonly [number, number])[];
}

/** A performance target and whether the run met it. */
export interface TargetCheck {
    readonly target: string;
    readonly measured: string;
    readonly met: boolean;
}

export interface BenchReport {
    readonly tables: readonly FigureTable[];
    readonly plots: readonly Plot[];
    readonly targets: readonly TargetCheck[];
}
