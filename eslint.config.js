// Standard style: eslint is the linter and, with --fix, the formatter.
import stylistic from '@stylistic/eslint-plugin'
import tseslint from 'typescript-eslint'

const standardFormat = stylistic.configs.customize({
  indent: 2,
  quotes: 'single',
  semi: false,
  commaDangle: 'never',
  braceStyle: '1tbs',
  arrowParens: false,
  quoteProps: 'as-needed'
})

export default tseslint.config(
  { ignores: ['**/dist/**', 'target/**', 'journal/**', '**/node_modules/**'] },
  ...tseslint.configs.recommended,
  standardFormat,
  {
    rules: {
      '@stylistic/space-before-function-paren': ['error', 'always'],
      '@stylistic/member-delimiter-style': ['error', {
        multiline: { delimiter: 'none' },
        singleline: { delimiter: 'comma', requireLast: false }
      }],
      '@stylistic/generator-star-spacing': ['error', { before: true, after: true }],
      '@stylistic/yield-star-spacing': ['error', 'both'],
      '@stylistic/operator-linebreak': ['error', 'after', { overrides: { '?': 'before', ':': 'before', '|': 'before' } }],
      '@stylistic/arrow-parens': ['error', 'as-needed'],
      '@stylistic/max-statements-per-line': ['error', { max: 1 }],
      '@stylistic/quotes': ['error', 'single', { avoidEscape: true }],
      '@typescript-eslint/naming-convention': ['error',
        { selector: 'typeLike', format: ['PascalCase'], custom: { regex: '^I[A-Z][a-z]', match: false } },
        { selector: 'function', format: ['camelCase'] }
      ],
      '@typescript-eslint/no-unused-expressions': 'off',
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_' }],
      camelcase: ['error', { properties: 'never' }],
      curly: ['error', 'multi-line'],
      eqeqeq: ['error', 'always', { null: 'ignore' }],
      'no-var': 'error',
      'object-shorthand': ['error', 'properties'],
      'prefer-const': 'error',
      'max-lines': ['error', { max: 400 }]
    }
  },
  {
    files: ['**/*.cjs'],
    rules: { '@typescript-eslint/no-require-imports': 'off' }
  },
  {
    files: ['**/*.ts'],
    rules: { 'no-restricted-syntax': ['error', { selector: 'TSEnumDeclaration', message: 'Use a union of strings.' }] }
  }
)
