/** docs/openapi.json matches the routes. */
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { Access, DEFAULT_REQUEST_LIMITS, NOT_RUN_STATUS, ROUTES } from "../../../request/http/index.js";
import { openHttp } from "../../connection/http/http-harness.js";
import { OPERATOR_TOKEN, TEAM_TOKEN } from "../../fakes/fake-gateway.js";

interface Operation {
    readonly security: readonly Readonly<Record<string, unknown>>[];
    readonly responses: Readonly<Record<string, unknown>>;
    readonly requestBody?: unknown;
    readonly parameters: readonly {
        readonly name: string;
        readonly schema: { readonly maximum?: number; };
    }[];
}

const document = JSON.parse(readFileSync("docs/openapi.json", "utf8"));
const paths: Record<string, Record<string, Operation>> = document.paths;

const securityNames = {
    [Access.open]: [],
    [Access.team]: ["teamToken"],
    [Access.operator]: ["operatorToken"],
    [Access.reader]: ["teamToken", "operatorToken"],
};

function getOperation(method: string, path: string): Operation | undefined {
    return paths[path.replace("/*", "/{branch}").replace(":id", "{id}")]?.[method.toLowerCase()];
}

function listReferences(value: unknown): string[] {
    if (typeof value !== "object" || !value) {
        return [];
    }
    return Object.entries(value).flatMap(([key, inner]) =>
        key === "$ref" ? [String(inner)] : listReferences(inner)
    );
}

describe("docs/openapi.json", () => {
    it("documents exactly the existing routes", () => {
        const documented = Object.entries(paths).flatMap(([path, operations]) =>
            Object.keys(operations).map(method => `${method.toUpperCase()} ${path}`)
        );
        const routed = ROUTES.map(({ method, path }) =>
            `${method} ${path.replace("/*", "/{branch}").replace(":id", "{id}")}`
        );
        assert.deepEqual(documented.sort(), routed.sort());
    });

    for (const { method, path, access, takesBody } of ROUTES) {
        it(`agrees with ${method} ${path} on tokens and body`, () => {
            const operation = getOperation(method, path);
            assert.deepEqual(operation?.security.flatMap(item => Object.keys(item)), securityNames[access]);
            assert.equal(operation?.requestBody !== undefined, takesBody);
        });
    }

    it("lists every status of work that did not run", () => {
        const listed = Object.keys(getOperation("POST", "/v1/services/*")?.responses ?? {});
        for (const status of new Set(Object.values(NOT_RUN_STATUS))) {
            assert.ok(listed.includes(String(status)), String(status));
        }
    });

    it("states the default limits", () => {
        const findMaximum = (method: string, path: string, name: string) =>
            getOperation(method, path)?.parameters.find(parameter => parameter.name === name)?.schema.maximum;
        const { maxDeadlineMs, maxWaitMs, maxTasks } = DEFAULT_REQUEST_LIMITS;
        assert.equal(findMaximum("POST", "/v1/services/*", "x-deadline-ms"), maxDeadlineMs);
        assert.equal(findMaximum("GET", "/v1/jobs/:id", "waitMs"), maxWaitMs);
        assert.equal(document.components.schemas.JobInput.properties.tasks.maximum, maxTasks);
    });

    it("refers only to schemas that it defines", () => {
        const known = Object.keys(document.components.schemas).map(name => `#/components/schemas/${name}`);
        for (const reference of listReferences(document)) {
            assert.ok(known.includes(reference), reference);
        }
    });

    for (
        const { schema, path, token } of [
            { schema: "JobInput", path: "/v1/jobs", token: TEAM_TOKEN },
            { schema: "Edit", path: "/v1/admin/tree/edits", token: OPERATOR_TOKEN },
        ]
    ) {
        it(`documents only accepted fields of ${schema}, and marks the required ones`, async () => {
            const { send } = await openHttp();
            const { properties, required } = document.components.schemas[schema];
            // Sends every documented field with a value of an invalid type: none may be reported as unknown.
            const body = Object.fromEntries(Object.keys(properties).map(field => [field, { wrong: true }]));
            const reply = await send("POST", path, { token, body: JSON.stringify(body) });
            const faults = reply.json()["faults"] as Record<string, string>[];
            assert.deepEqual(
                faults.filter(fault =>
                    fault["found"] === "an unknown field" && fault["path"] !== "resources.wrong"
                ),
                [],
            );
            const empty = await send("POST", path, { token, body: "{}" });
            const missing = (empty.json()["faults"] as Record<string, string>[]).map(fault => fault["path"]);
            assert.deepEqual(missing.sort(), [...required].sort());
        });
    }
});
