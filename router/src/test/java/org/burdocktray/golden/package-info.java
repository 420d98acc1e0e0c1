/**
 * Golden files of complete sessions: input and expected output, line by line.
 */
package org.burdocktray.golden;
