/** Enables roarr, which reads this variable when it loads. The `logLevel` setting filters by level. */
process.env['ROARR_LOG'] = 'true';
