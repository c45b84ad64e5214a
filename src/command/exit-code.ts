/** Exit codes of the program, as docs/OPERATORS.md lists them. */
export const ExitCode = {
    success: 0,
    /** The operation failed or was refused. */
    failed: 1,
    /** Invalid arguments or settings; the operation was not attempted. */
    usage: 2,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
