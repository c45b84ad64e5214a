/** What a bench is and what it reports. */

/** One bench; `bench/table.ts` lists them. */
export interface Bench {
    /** Name on the command line and of its page in docs/measurements. */
    readonly name: string;
    /** One line for the list. */
    readonly about: string;
    run(options: BenchOptions): Promise<BenchReport> | BenchReport;
}

export interface BenchOptions {
    /** Smaller and shorter, so that all benches together end within a minute. */
    readonly quick: boolean;
    readonly seed: number;
}

/** A table of figures; the first row is the head. */
export interface FigureTable {
    readonly title: string;
    readonly rows: readonly (readonly (string | number)[])[];
}

/** A plot of lines. */
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

/** Targets that a run met or missed. */
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
