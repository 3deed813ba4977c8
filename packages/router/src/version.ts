/** Version of the program, shown by --version and in the state dump. */
export const VERSION = '0.1.0';
