/**
 * Compares complete sessions of each kind of caller and of an operator with golden files.
 * `UPDATE_GOLDEN=1 npm test -- golden` rewrites the files; review the difference before committing it.
 */
import { describe, it } from "node:test";
import { OPERATOR, OTHER_TEAM, Session, TEAM } from "./session.js";

const SERVICE = "/v1/services/services/catalogo-beni";
const JSON_CONTENT = { "content-type": "application/json" };
const TASK_SIZE = { cpuMillis: 2_000, memoryMib: 1_024 };

async function submitAndWait(
    session: Session,
    body: unknown,
    headers: Record<string, string> = {},
): Promise<string> {
    const { location } = await session.send({ method: "POST", path: "/v1/jobs", token: TEAM, headers, body });
    await session.send({ method: "GET", path: `${location}?waitMs=60000`, token: TEAM });
    return location;
}

const sessions: readonly { readonly name: string; readonly run: (session: Session) => Promise<void>; }[] = [
    {
        name: "visitor-check",
        run: async session => {
            const headers = { ...JSON_CONTENT, "x-repeatable": "true", "x-deadline-ms": "2000" };
            const ask = (body: unknown, more = {}) =>
                session.send({
                    method: "POST",
                    path: SERVICE,
                    token: TEAM,
                    headers: { ...headers, ...more },
                    body,
                });
            session.write("A visitor's itinerary check, answered by a worker.");
            await ask({ serviceMs: 5, answer: "open from ten to six" });
            session.write("A worker that fails: tried again elsewhere, then told.");
            await ask({ serviceMs: 5, fail: "the catalogue is corrupt" });
            session.write("Faulty headers, no token, and a service that is not there.");
            await ask({}, { "x-deadline-ms": "soon", "x-repeatable": "perhaps" });
            await session.send({ method: "POST", path: SERVICE, body: {} });
            await session.send({
                method: "POST",
                path: "/v1/services/services/orari",
                token: TEAM,
                body: {},
            });
        },
    },
    {
        name: "volunteer-correction",
        run: async session => {
            const headers = { ...JSON_CONTENT, "idempotency-key": "correction-114" };
            const body = { serviceMs: 5, answer: "san-rocco opens at 09:30" };
            const correct = (entry: number, content: unknown) =>
                session.send({ method: "POST", path: SERVICE, token: TEAM, headers, body: content, entry });
            session.write("A correction, which may run once at most.");
            await correct(0, body);
            session.write("Sent again through another entry: the first outcome, and no second run.");
            await correct(1, body);
            session.write("The same key with other content.");
            await correct(2, { ...body, answer: "san-rocco opens at 10:00" });
            const runs = session.cell.journal.runs.filter(run => run.kind === "service").length;
            session.write(`Runs on workers: ${runs}`);
        },
    },
    {
        name: "council-rebuild",
        run: async session => {
            session.write("A council's season programme as a batch, handed in twice with one key.");
            const body = {
                kind: "batch",
                branch: "batch/season-rebuild",
                tasks: 4,
                repeatable: true,
                resources: TASK_SIZE,
                estimateMs: 500,
                payload: JSON.stringify({ runMs: 500, answer: "rebuilt" }),
            };
            const headers = { "idempotency-key": "verona-2026" };
            const { location } = await session.send({
                method: "POST",
                path: "/v1/jobs",
                token: TEAM,
                headers,
                body,
            });
            await session.send({ method: "POST", path: "/v1/jobs", token: TEAM, headers, body, entry: 1 });
            session.write("Its end.");
            await session.send({ method: "GET", path: `${location}?waitMs=60000`, token: TEAM, entry: 2 });
            await session.send({ method: "GET", path: `${location}/explain`, token: TEAM });
            session.write("Another team does not see it; operators do, and cannot cancel it.");
            await session.send({ method: "GET", path: location, token: OTHER_TEAM });
            await session.send({ method: "GET", path: `${location}/explain`, token: OPERATOR });
            await session.send({ method: "POST", path: `${location}/cancel`, token: OPERATOR });
        },
    },
    {
        name: "engineer-study",
        run: async session => {
            const body = {
                kind: "gang",
                branch: "gang/river-reach",
                tasks: 4,
                resources: { ...TASK_SIZE, accelerators: 1 },
                estimateMs: 1_000,
                payload: JSON.stringify({ runMs: 1_000, answer: "water level 4.2 m" }),
            };
            session.write("A river-reach study: all tasks start together.");
            const location = await submitAndWait(session, body);
            await session.send({ method: "GET", path: `${location}/explain`, token: TEAM });
            session.write(
                "One whose tasks are larger than any worker: told at once, with what would have to change.",
            );
            const large = { ...body, resources: { cpuMillis: 999_000, memoryMib: 1, accelerators: 1 } };
            const misfit = await session.send({ method: "POST", path: "/v1/jobs", token: TEAM, body: large });
            await session.send({ method: "GET", path: `${misfit.location}/explain`, token: TEAM });
        },
    },
    {
        name: "sweep",
        run: async session => {
            const body = {
                kind: "batch",
                branch: "batch/impeller-sweep",
                tasks: 3,
                resources: TASK_SIZE,
                estimateMs: 100_000,
                payload: JSON.stringify({ runMs: 100_000, answer: "swept" }),
            };
            session.write("An impeller sweep that its client drops while it runs.");
            const { location } = await session.send({ method: "POST", path: "/v1/jobs", token: TEAM, body });
            await session.send({ method: "GET", path: `${location}?waitMs=2000`, token: TEAM });
            await session.send({ method: "POST", path: `${location}/cancel`, token: TEAM });
            session.write("Cancelled again: no further effect.");
            await session.send({ method: "POST", path: `${location}/cancel`, token: TEAM });
            await session.send({ method: "GET", path: `${location}?waitMs=60000`, token: TEAM });
        },
    },
    {
        name: "nozzle-check",
        run: async session => {
            session.write("A short, urgent run; size and time come from the branch.");
            await submitAndWait(session, {
                kind: "short",
                branch: "short/nozzle-check",
                urgent: true,
                payload: JSON.stringify({ runMs: 50, answer: "within tolerance" }),
            });
            session.write("One with three faults.");
            const faulty = {
                kind: "short",
                branch: "gang/river-reach",
                tasks: 0,
                colour: "red",
                urgent: "yes",
            };
            await session.send({ method: "POST", path: "/v1/jobs", token: TEAM, body: faulty });
        },
    },
    {
        name: "operator-edit",
        run: async session => {
            const admin = (method: "GET" | "POST", path: string, body?: unknown) =>
                session.send({ method, path: `/v1/admin/${path}`, token: OPERATOR, body });
            const first = {
                editId: "edit-1",
                baseVersion: 1,
                changes: [{ path: "services/catalogo-beni", field: "adoption", value: "off" }],
            };
            session.write("What an edit would do, then the edit.");
            await admin("POST", "tree/check", first);
            await admin("POST", "tree/edits", first);
            session.write("The branch is left to the old scripts from now on.");
            await session.send({ method: "POST", path: SERVICE, token: TEAM, entry: 1, body: {} });
            session.write(
                "The same edit again has no further effect; another one of the same field conflicts.",
            );
            await admin("POST", "tree/edits", first);
            await admin("POST", "tree/edits", {
                ...first,
                editId: "edit-2",
                changes: [{ path: "services/catalogo-beni", field: "adoption", value: "shadow" }],
            });
            session.write("An edit with faults, and a team's token.");
            const changes = [{ path: "batch", field: "queueLimit", value: -1 }, {
                path: "batch",
                field: "colour",
                value: 1,
            }];
            await admin("POST", "tree/edits", { editId: "edit-3", baseVersion: 2, changes });
            await session.send({ method: "GET", path: "/v1/admin/tree", token: TEAM });
            session.write("The history and the effective settings.");
            await admin("GET", "tree/history?limit=1");
            await admin("GET", "tree/effective?path=services/catalogo-beni");
        },
    },
];

describe("golden sessions", () => {
    for (const { name, run } of sessions) {
        it(name, async () => {
            const session = new Session();
            await session.open();
            try {
                await run(session);
            }
            finally {
                await session.close();
            }
            session.check(name);
        });
    }
});
