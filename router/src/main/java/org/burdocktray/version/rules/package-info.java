/**
 * The routing rules that the platform's operators put in force: routes by host and path
 * prefix, services, organisations and limits. Immutable; one instance per version.
 */
package org.burdocktray.version.rules;
