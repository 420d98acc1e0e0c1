/**
 * Reading and validation of JSON files with comments. Each fault names the file, line and
 * field. Used only by the readers of settings and bundles.
 */
package org.burdocktray.version.config;
