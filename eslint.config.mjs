import prettier from 'eslint-config-prettier';
import { configs, plugins } from 'eslint-config-airbnb-extended';
import tseslint from 'typescript-eslint';

// Airbnb's guide, with the few lines that the house style puts before it.
export default tseslint.config(
  {
    ignores: [
      '**/node_modules/**',
      'dist/**',
      'target/**',
      'tools/**',
      'eslint.config.mjs',
      '**/generated/**',
    ],
  },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  prettier,
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      // One task per connection and per peer is written straight down, so a loop may await.
      'no-await-in-loop': 'off',
      // Array methods for data; loops stay for streams and for tasks that run until stopped.
      'no-restricted-syntax': [
        'error',
        { selector: 'ForInStatement', message: 'Use Object.keys and array methods.' },
        { selector: 'ForOfStatement[await=false]', message: 'Use array methods.' },
        { selector: 'LabeledStatement', message: 'Labels are hard to follow.' },
        { selector: 'WithStatement', message: 'Not allowed in strict mode.' },
      ],
      'no-continue': 'off',
      'no-console': 'error',
      'no-underscore-dangle': [
        'error',
        { allowAfterThis: true, allow: ['_unsafeUnwrap', '_unsafeUnwrapErr'] },
      ],
      'class-methods-use-this': 'off',
      'import-x/extensions': 'off',
      'import-x/prefer-default-export': 'off',
      'import-x/no-default-export': 'error',
      'import-x/no-rename-default': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'no-void': ['error', { allowAsStatement: true }],
      'import-x/no-useless-path-segments': 'off',
      'max-classes-per-file': ['error', 1],
      'max-lines': ['error', { max: 350, skipComments: false }],
      '@typescript-eslint/no-use-before-define': ['error', { functions: false, classes: true }],
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
    },
  },
  {
    // What serves requests: a promise that nobody waits for ends the process where it rejects. `runInBackground` names
    // its place; the benches and stand-ins are to end with what they throw.
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    ignores: ['packages/{bench,scenario,stand-ins}/**'],
    rules: {
      'no-void': ['error', { allowAsStatement: false }],
      '@typescript-eslint/no-floating-promises': ['error', { ignoreVoid: false }],
      '@typescript-eslint/no-misused-promises': 'error',
    },
  },
  {
    files: ['packages/*/tests/**/*.ts', 'platform/tests/**/*.ts'],
    rules: {
      // node:test returns a promise from test() that its runner awaits.
      '@typescript-eslint/no-floating-promises': 'off',
      'max-lines': ['error', { max: 500 }],
    },
  },
);
