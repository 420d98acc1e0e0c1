/**
 * Settings of one router process, read from JSON with comments. All faults of a file are
 * reported together.
 */
package org.burdocktray.process.settings;
