import tseslint from "typescript-eslint";
import { functionVerbs } from "./scripts/function-verbs.js";

const RESTRICTED_SYNTAX = [
    {
        selector: "TSEnumDeclaration",
        message: "Use a constant object and a union of its values.",
    },
    { selector: "ExportDefaultDeclaration", message: "Use a named export." },
    { selector: "Literal[raw='null']", message: "Use undefined." },
    {
        selector:
            "CallExpression[callee.property.name=/^(skip|todo)$/][callee.object.name=/^(it|test|describe)$/]",
        message: "A skipped test is a defect: list it in KNOWN-RED.txt.",
    },
];

/** The arguments of a call are on the stack, which a list of unbounded length overflows. */
const SPREAD_ARGUMENTS = {
    selector: ":matches(CallExpression, NewExpression) > SpreadElement",
    message: "Pass the list itself, or use computeMax, computeMin or appendAll of src/common/lists.ts.",
};

export default tseslint.config(
    { ignores: ["node_modules", "dist", "target"] },
    ...tseslint.configs.strict,
    {
        files: ["src/**/*.ts", "platform/**/*.ts", "bench/**/*.ts"],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        plugins: { cactusrack: { rules: { "function-verbs": functionVerbs } } },
        rules: {
            "cactusrack/function-verbs": "error",
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-misused-promises": "error",
            "@typescript-eslint/switch-exhaustiveness-check": ["error", {
                considerDefaultExhaustiveForUnions: true,
            }],
            "@typescript-eslint/no-non-null-assertion": "error",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: ["function", "classMethod"], format: ["camelCase"], leadingUnderscore: "forbid" },
                { selector: "classProperty", format: null, leadingUnderscore: "forbid" },
                // The names of overridden methods, such as those of Node's streams, are not ours.
                { selector: "classMethod", modifiers: ["override"], format: null },
            ],
            "no-restricted-syntax": ["error", ...RESTRICTED_SYNTAX],
            "no-restricted-imports": [
                "error",
                {
                    paths: [
                        "child_process",
                        "node:child_process",
                        "cluster",
                        "node:cluster",
                        "worker_threads",
                        "node:worker_threads",
                    ],
                },
            ],
            "max-lines": ["error", { max: 400, skipBlankLines: false, skipComments: false }],
            "curly": "error",
            "eqeqeq": "error",
        },
    },
    {
        files: ["src/**/*.ts", "platform/**/*.ts"],
        ignores: ["src/test/**", "platform/test/**"],
        rules: { "no-restricted-syntax": ["error", ...RESTRICTED_SYNTAX, SPREAD_ARGUMENTS] },
    },
    {
        files: ["src/test/**/*.ts", "platform/test/**/*.ts"],
        rules: { "@typescript-eslint/no-floating-promises": "off", "max-lines": ["error", { max: 600 }] },
    },
    {
        // These tests start the product's processes; the product itself never starts any.
        files: ["src/test/alone/**/*.ts", "platform/test/alone/**/*.ts"],
        rules: { "no-restricted-imports": "off" },
    },
    {
        // Benches start several real processes; the product itself never does.
        files: ["bench/**/*.ts"],
        rules: { "no-restricted-imports": "off" },
    },
);
