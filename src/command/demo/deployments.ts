/** The two deployments of the demo: failure domains, sizes, settings trees and the work that callers submit. */
import hooghlyTree from "../../../examples/hooghly.json" with { type: "json" };
import porteAperteTree from "../../../examples/porte-aperte.json" with { type: "json" };
import type { Resources } from "../../common/resources.js";
import type { JobKind } from "../../request/work.js";

/** Demo work submitted as a service request. */
export interface DemoRequest {
    readonly kind: "request";
    readonly title: string;
    readonly team: string;
    readonly branch: string;
    readonly repeatable: boolean;
    /** Whether it is sent again with the same key to another entry, to show that it runs only once. */
    readonly isSentTwice: boolean;
    readonly body: string;
}

/** Demo work submitted as a job. */
export interface DemoJob {
    readonly kind: "job";
    readonly title: string;
    readonly team: string;
    readonly branch: string;
    readonly jobKind: JobKind;
    readonly tasks: number;
    readonly runMs: number;
}

export type DemoWork = DemoRequest | DemoJob;

/** A small-scale deployment. */
export interface Deployment {
    readonly name: string;
    readonly failureDomains: readonly string[];
    /** Capacity of each worker. */
    readonly worker: Resources;
    /** Root of the settings tree. */
    readonly tree: unknown;
    readonly work: readonly DemoWork[];
}

const WORKER_CPU_MILLIS = 64_000;

/** Workers per deployment. */
export const WORKERS = 30;
export const WORKERS_PER_RACK = 6;
export const SLOTS_PER_WORKER = 8;
export const CONNECTIONS_PER_WORKER = 60;

export const DEPLOYMENTS: readonly Deployment[] = [
    {
        name: "porte-aperte",
        failureDomains: ["sala-milano", "sala-torino", "sala-verona", "sala-bologna"],
        worker: { cpuMillis: WORKER_CPU_MILLIS, memoryMib: 133_120, accelerators: 0 },
        tree: porteAperteTree,
        work: [
            {
                kind: "request",
                title: "itinerary check of a visitor",
                team: "visitors",
                branch: "services/catalogo-beni",
                repeatable: true,
                isSentTwice: false,
                body: JSON.stringify({ serviceMs: 20, answer: "villa open from 10 to 18" }),
            },
            {
                kind: "request",
                title: "correction by a parish volunteer",
                team: "volunteers",
                branch: "services/catalogo-beni",
                repeatable: false,
                isSentTwice: true,
                body: JSON.stringify({ serviceMs: 20, answer: "opening hours changed" }),
            },
            {
                kind: "job",
                title: "season rebuild of a council",
                team: "councils",
                branch: "batch/season-rebuild",
                jobKind: "batch",
                tasks: 24,
                runMs: 300,
            },
        ],
    },
    {
        name: "hooghly",
        failureDomains: ["salt-lake", "rajarhat", "jadavpur", "howrah"],
        worker: { cpuMillis: WORKER_CPU_MILLIS, memoryMib: 256_000, accelerators: 0 },
        tree: hooghlyTree,
        work: [
            {
                kind: "job",
                title: "nozzle check of a designer",
                team: "pump-makers",
                branch: "short/nozzle-check",
                jobKind: "short",
                tasks: 1,
                runMs: 100,
            },
            {
                kind: "job",
                title: "sweep of a pump impeller",
                team: "pump-makers",
                branch: "batch/impeller-sweep",
                jobKind: "batch",
                tasks: 40,
                runMs: 300,
            },
            {
                kind: "job",
                title: "study of a full river reach",
                team: "irrigation-boards",
                branch: "gang/river-reach",
                jobKind: "gang",
                tasks: 16,
                runMs: 500,
            },
        ],
    },
];
