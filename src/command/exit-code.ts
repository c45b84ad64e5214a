/** Exit codes of the program, as docs/OPERATORS.md lists them. */
export const ExitCode = {
    fine: 0,
    /** The operation was tried and failed, or was refused. */
    failed: 1,
    /** Bad usage or settings: nothing was tried. */
    usage: 2,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
