/** Stories of partitions, on both kinds of workers. */
import { describe, it } from "node:test";
import type { StoryScope } from "./stories.js";
import { runLoad, runStoryOnBoth } from "./stories.js";

const LOAD_MS = 6_000;
const CUT_MS = 15_000;

interface PartitionCase {
    readonly name: string;
    readonly cut: (scope: StoryScope) => void;
}

const cases: PartitionCase[] = [
    { name: "one entry is cut from its peers", cut: ({ cell }) => cutPeers({ cell }, 1) },
    { name: "one entry is cut from the store", cut: ({ cell }) => cell.cutStore(cell.getMember(1), CUT_MS) },
    {
        name: "one entry is cut from peers and store",
        cut: ({ cell }) => {
            cutPeers({ cell }, 1);
            cell.cutStore(cell.getMember(1), CUT_MS);
        },
    },
    { name: "two halves are cut from each other", cut: ({ cell }) => cell.splitEntries(2, CUT_MS) },
    {
        name: "two halves are cut from each other and the store is away",
        cut: ({ cell }) => {
            cell.splitEntries(2, CUT_MS);
            cell.stopStore(CUT_MS);
        },
    },
    {
        name: "two halves are cut from each other and one half from the store",
        cut: ({ cell }) => {
            cell.splitEntries(2, CUT_MS);
            [0, 1].forEach(index => cell.cutStore(cell.getMember(index), CUT_MS));
        },
    },
    {
        name: "one entry is cut from all its workers",
        cut: ({ cell }) => cell.listWorkerIds().forEach(id => cell.cutWorker(cell.getMember(1), id, CUT_MS)),
    },
];

function cutPeers({ cell }: Pick<StoryScope, "cell">, index: number): void {
    const { memberId } = cell.getMember(index);
    cell.network.cutMember(memberId);
    cell.clock.schedule(CUT_MS, () => cell.network.healMember(memberId));
}

describe("partitions", () => {
    for (const { name, cut } of cases) {
        it(`${name}: no task in two places, no false answer`, async () => {
            // Callers see: waits, and "not run" that is true. Order: work flows, the links break for 15 s and heal, while
            // everybody goes on as far as the rules let them. Cause: a switch or a region link fails.
            await runStoryOnBoth(async scope => {
                const load = runLoad(scope, LOAD_MS, 250);
                await scope.cell.clock.step(1_000);
                cut(scope);
                await scope.cell.clock.wait(load, 20_000);
                await scope.cell.clock.step(CUT_MS);
            });
        });
    }
});
