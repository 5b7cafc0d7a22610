// Command hoistgen is a protoc plugin. It generates immutable value types with With methods,
// their conversions from and to the wire types, defaults, schema digests and the settings reference.
package main

import (
	"google.golang.org/protobuf/compiler/protogen"
	"google.golang.org/protobuf/types/gofeaturespb"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	protogen.Options{DefaultAPILevel: gofeaturespb.GoFeatures_API_OPAQUE}.Run(func(p *protogen.Plugin) error {
		p.SupportedFeatures = uint64(pluginpb.CodeGeneratorResponse_FEATURE_SUPPORTS_EDITIONS)
		p.SupportedEditionsMinimum = 1000
		p.SupportedEditionsMaximum = 1000
		for _, f := range p.Files {
			if !f.Generate {
				continue
			}
			writeValues(p, f)
			writeConversions(p, f)
		}
		writeDefaults(p)
		writeReference(p)
		return writeDigest(p)
	})
}
