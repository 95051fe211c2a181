package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	gengo "google.golang.org/protobuf/cmd/protoc-gen-go/internal_gengo"
	"google.golang.org/protobuf/compiler/protogen"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	for _, path := range os.Args[1:] {
		if err := generate(path); err != nil {
			fmt.Fprintln(os.Stderr, "protogen:", err)
			os.Exit(1)
		}
	}
}

func generate(path string) error {
	dir, name := filepath.Split(path)
	compiler := protocompile.Compiler{
		Resolver:       protocompile.WithStandardImports(&protocompile.SourceResolver{ImportPaths: []string{dir}}),
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(context.Background(), name)
	if err != nil {
		return err
	}
	request := &pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{name},
		Parameter:      proto.String("paths=source_relative"),
		ProtoFile:      []*descriptorpb.FileDescriptorProto{protoutil.ProtoFromFileDescriptor(files[0])},
	}
	plugin, err := protogen.Options{}.New(request)
	if err != nil {
		return err
	}
	for _, file := range plugin.Files {
		if file.Generate {
			gengo.GenerateFile(plugin, file)
		}
	}
	for _, out := range plugin.Response().File {
		if err := os.WriteFile(filepath.Join(dir, out.GetName()), []byte(out.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
