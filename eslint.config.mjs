import tseslint from 'typescript-eslint';

/** Files that read responses themselves: the one reader, and those that forward what an endpoint sends. */
const FORWARDING_FILES = [
  'src/runtime/connection-pools.ts',
  'src/gateway/requests/relay-stream.ts',
  'src/gateway/requests/read-response.ts',
];

export default tseslint.config(
  { ignores: ['dist/**', 'target/**', 'src/generated/**', 'node_modules/**'] },
  ...tseslint.configs.recommended,
  {
    files: ['**/*.ts'],
    languageOptions: { parserOptions: { project: './tsconfig.json' } },
    rules: {
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-misused-promises': 'error',
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_' }],
      'max-lines': ['error', { max: 420, skipBlankLines: true, skipComments: true }],
      eqeqeq: 'error',
    },
  },
  {
    // Responses are read whole by ConnectionPools.call alone, which limits their size and time.
    files: ['src/**/*.ts', 'platform/**/*.ts'],
    ignores: FORWARDING_FILES,
    rules: {
      'no-restricted-syntax': [
        'error',
        {
          selector:
            'CallExpression > MemberExpression[property.name=/^(json|text|bytes|blob|formData|arrayBuffer|dump)$/]' +
            ':matches([object.name="body"], [object.property.name="body"])',
          message: 'Read the response by ConnectionPools.call, which limits its size and time.',
        },
        {
          selector:
            'ForOfStatement[await=true] :matches(Identifier[name="body"], MemberExpression[property.name="body"])',
          message: 'Read the response by ConnectionPools.call, which limits its size and time.',
        },
        {
          selector:
            'ImportDeclaration[source.value="undici"] > ImportSpecifier[imported.name=/^(request|fetch|stream|pipeline|Agent)$/]',
          message: 'Send the request by ConnectionPools.call, which limits its response.',
        },
      ],
    },
  },
  {
    // node:test returns promises that its runner awaits.
    files: ['test/**/*.ts'],
    rules: { '@typescript-eslint/no-floating-promises': 'off' },
  },
);
