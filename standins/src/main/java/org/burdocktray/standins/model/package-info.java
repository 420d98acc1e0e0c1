/**
 * A deterministic toy model: its layers, tokenizer and reference responses.
 */
package org.burdocktray.standins.model;
