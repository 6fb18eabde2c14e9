// Package standin provides fakes of the components around the system: the platform's
// services and the targets. Tests, the demo and the bench use them.
package standin
